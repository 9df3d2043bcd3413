from plantainyard.membership import make_epoch


def test_claim_at_offset_zero_has_an_epoch_that_counts():
    # A domain's very first record is the claim of a rack. Its runners start, yet every
    # request to them is refused: an epoch of zero was read as "no authority".
    assert make_epoch(0) > 0
    assert make_epoch(0, 999) < make_epoch(1)
