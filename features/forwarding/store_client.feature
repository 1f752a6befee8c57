Feature: Calls to the store wait as long as an answer is coming

  Scenario: A large answer over a slow link arrives whole
    When forwarding reads an answer of forty parts, one each tenth of a second
    Then forwarding has the whole answer after four seconds

  Scenario: An answer that stops coming is given up soon
    When forwarding reads an answer that stops after five parts, one each tenth of a second
    Then forwarding gives the answer up after the silence it bears

  Scenario: An answer that trickles without end is given up
    When forwarding reads an answer of ten thousand parts, one each tenth of a second
    Then forwarding gives the answer up after the longest time of a call
