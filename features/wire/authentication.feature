Feature: Datagrams between balancers are authenticated
  A datagram is accepted only once, from a holder of a key and at its destination address.

  Scenario: A sealed datagram opens to its sender and body
    When wire datagrams with arbitrary bodies are sealed and opened
    Then each wire datagram opened to its sender and body

  Scenario: Arbitrary bytes never open
    When wire arbitrary bytes are opened
    Then each was refused with a wire reason

  Scenario: A changed datagram never opens
    When wire datagrams are opened with one byte changed
    Then each was refused with a wire reason

  Scenario: A truncated or extended datagram never opens
    When wire datagrams are opened truncated or extended
    Then each was refused with a wire reason

  Scenario: A datagram replayed to another balancer or from another address is refused
    When a wire datagram for one balancer is opened by another
    And a wire datagram is opened with another source address
    Then each was refused with a wire reason

  Scenario: Reordered and duplicated datagrams are each accepted once
    When wire datagrams arrive reordered and duplicated within the window
    Then each wire datagram was accepted exactly once

  Scenario: The replay window accepts the same numbers as a set of all sequence numbers
    When wire sequence numbers far apart arrive
    Then the wire replay window accepted the same numbers as the set

  Scenario: An older incarnation is refused once a newer one was received
    Given a wire sender that was restarted
    Then wire datagrams of the older incarnation are refused

  Scenario: Keys rotate without refusing a datagram
    Given a wire sender and receiver that rotate from one key to another
    Then every wire datagram of the rotation was accepted
    And a wire datagram sealed with the retired key is refused

  Scenario: The state of senders is bounded
    When wire datagrams of more senders than the limit arrive
    Then the wire replay guard keeps no more senders than its limit

  Scenario: The envelope of a datagram is small
    Then a wire envelope adds 29 bytes and the sender's name
