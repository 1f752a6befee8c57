Feature: Decoders accept only well-formed packets and messages

  Scenario: Decoding returns the encoded packets and messages
    When wire packets of every kind are encoded and decoded
    Then each wire packet was decoded to an equal one

  Scenario: Arbitrary bytes never raise
    When wire arbitrary bytes are passed to every decoder
    Then each wire decoder returned a value or a reason

  Scenario: Mutated packets never raise and are never decoded to numbers out of range
    When wire mutated packets are passed to every decoder
    Then each wire decoder returned a value or a reason
    And the decoded wire numbers were within their ranges

  Scenario: Oversized input is refused before decoding
    When wire input above the size limit is passed to every decoder
    Then each wire decoder reported it as oversized
