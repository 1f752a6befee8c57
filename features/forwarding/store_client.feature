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

  Scenario: A read whose answer comes in two halves is finished, not begun anew
    When forwarding reads routes that come in two halves
    Then forwarding knows the routes after one request

  Scenario: A read whose answer stops coming fails
    When forwarding reads routes of which the second half never comes
    Then forwarding takes the read as timed out

  Scenario: Responses, requests and queries are what the libraries take them to be
    Then http property: a response is read as h11 reads it, in whatever pieces it comes
    And http property: bytes that are no response are an error or wait for more, never an answer
    And http property: a request is read as h11 reads it, in whatever pieces it comes
    And http property: a text is quoted as the standard library quotes it

  Scenario: A connection that falls silent while a watch waits is noticed after two seconds
    Given a listening address that never answers
    When forwarding watches the store at that address
    Then its connection asks after 1 second of rest and is given up 1 second later

  Scenario: A call written into a connection that has fallen silent is given up after two seconds
    The system asks for a sign of life only while nothing waits for its receipt.  A watch asked for
    on a connection that was silent already would wait for its own end, 25.7 seconds.
    Given a listening address that never answers
    When forwarding watches the store at that address
    Then its connection is given up once bytes wait 2000 milliseconds for their receipt
