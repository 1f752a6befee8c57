Feature: Decoders take nothing but well-formed packets and messages

  Scenario: Packets and messages come back as they were encoded
    When wire packets of every kind are encoded and decoded
    Then each wire packet came back equal

  Scenario: Arbitrary bytes never raise
    When wire arbitrary bytes are given to every decoder
    Then each wire decoder gave a value or a reason

  Scenario: Mutated packets never raise and never carry numbers out of range
    When wire mutated packets are given to every decoder
    Then each wire decoder gave a value or a reason
    And the wire numbers taken were within their ranges

  Scenario: Oversized input is refused before it is parsed
    When wire input above the size limit is given to every decoder
    Then each wire decoder said it is oversized
