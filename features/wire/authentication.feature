Feature: Datagrams between balancers are authenticated
  A datagram is taken once, from a holder of a key, at the address it was meant for.

  Scenario: A sealed datagram opens with its sender and body
    When wire datagrams with arbitrary bodies are sealed and opened
    Then each wire datagram opened to its sender and body

  Scenario: Arbitrary bytes never open
    When wire arbitrary bytes are opened
    Then each was refused with a wire reason

  Scenario: A changed datagram never opens
    When wire datagrams are opened with one byte changed
    Then each was refused with a wire reason

  Scenario: A cut or lengthened datagram never opens
    When wire datagrams are opened cut or lengthened
    Then each was refused with a wire reason

  Scenario: A datagram sent on to another balancer or from another address is refused
    When a wire datagram for one balancer is opened by another
    And a wire datagram is opened with another source address
    Then each was refused with a wire reason

  Scenario: Arrival in any order and any number of times takes each datagram once
    When wire datagrams arrive reordered and repeated within the window
    Then each wire datagram was taken exactly once

  Scenario: The replay window agrees with a set of all sequence numbers
    When wire sequence numbers far apart arrive
    Then the wire replay window took what the set of them says

  Scenario: An older incarnation is refused once a newer one is heard
    Given a wire sender that was restarted
    Then wire datagrams of the former incarnation are refused

  Scenario: Keys rotate without refusing a datagram
    Given a wire sender and receiver that rotate from one key to another
    Then every wire datagram of the rotation was taken
    And a wire datagram sealed with the retired key is refused

  Scenario: The state kept of senders is bounded
    When wire datagrams of more senders than remembered arrive
    Then the wire replay guard remembers no more than its limit

  Scenario: The envelope of a datagram is small
    Then a wire envelope adds 29 bytes and the sender's name
