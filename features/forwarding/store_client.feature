Feature: Calls to the store continue while bytes of the response arrive

  Scenario: A large response over a slow link arrives completely
    When forwarding reads a response of forty parts, one each tenth of a second
    Then forwarding has the complete response after four seconds

  Scenario: A response that stalls times out soon
    When forwarding reads a response that stops after five parts, one each tenth of a second
    Then forwarding has timed out after the limit on silence

  Scenario: A response that trickles without end times out
    When forwarding reads a response of ten thousand parts, one each tenth of a second
    Then forwarding has timed out after the limit on a response

  Scenario: A read whose response arrives in two halves is not restarted
    When forwarding reads routes that arrive in two halves
    Then forwarding has the routes after one request

  Scenario: A read whose response stalls fails
    When forwarding reads routes of which the second half never arrives
    Then forwarding reports the read as timed out

  Scenario: A verification asks for the changes without waiting for any
    When forwarding verifies a watch of the routes after revision 7, and the store answers with version 4
    Then forwarding has requested the changes after revision 7 with a wait of 0 milliseconds
    And forwarding reports the version as the answer to a verification

  Scenario: A verification whose answer is lost fails soon, and is no failure of the watch
    When forwarding verifies a watch of the routes after revision 7, and the store never answers
    Then forwarding has timed out the verification after the limit on silence

  Scenario: Responses, requests and queries are parsed and encoded as by the libraries
    Then http property: a response is parsed as by h11, in whatever pieces it arrives
    And http property: bytes that are not a response are an error or incomplete, never a response
    And http property: a request is parsed as by h11, in whatever pieces it arrives
    And http property: a text is percent-encoded as by the standard library

  Scenario: A connection that dies during a watch is detected after two seconds
    Given a listening address that never responds
    When forwarding watches the store at that address
    Then its connection is probed after 1 second of idle time and fails 1 second later

  Scenario: A call on a connection that is already dead fails after two seconds
    TCP sends no keep-alive probes while sent bytes are unacknowledged.  Without a limit on that, a
    watch on a dead connection would only fail at its own timeout, after 25.7 seconds.
    Given a listening address that never responds
    When forwarding watches the store at that address
    Then its connection fails once sent bytes are unacknowledged for 2000 milliseconds
