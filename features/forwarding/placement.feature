Feature: New flows go to permitted back ends, in the shares the operator gave

  Scenario: Shares are exact over time, also for few flows
    Then forwarding property: turns stay within two flows of every share

  Scenario: A back end that has said it leaves is given no flow again
    Then forwarding property: no flow is placed on a back end that leaves, is gone or stands elsewhere

  Scenario: A lapsed list does not leave a service without back ends at once
    Given a forwarding node with routes and back ends
    When forwarding finds the list empty
    Then forwarding places flows on those that left without a word for two seconds, then on none

  Scenario: An entry that lapsed and came back takes flows again
    Given a forwarding node with routes and back ends
    When forwarding finds the list empty and then whole again
    Then forwarding places flows on every back end

  Scenario: A copied opening packet goes to another back end
    Given a forwarding node with routes and back ends
    When forwarding gets a copy of an opening packet
    Then forwarding gives it to another back end of the same service

  Scenario: A back end that is slow from its start is given fewer flows
    Given a forwarding node with routes and back ends
    When forwarding learns of a back end that is slow from its start
    Then forwarding gives it less than half of an equal part

  Scenario: A back end that answers slowly is given few new flows, and is tried again later
    Given a forwarding node with routes and back ends
    When forwarding sees one back end answer eight times slower than the others
    Then forwarding gives it less than a fifth of an equal part
    And forwarding gives it an equal part again 20 seconds later

  Scenario: A back end whose callers give up is given few new flows
    Given a forwarding node with routes and back ends
    When forwarding sees callers of one back end close without an answer
    Then forwarding gives it less than a fifth of an equal part

  Scenario: Back ends that are all slow share the flows
    Given a forwarding node with routes and back ends
    When forwarding sees all back ends answer slowly
    Then forwarding gives each of them an equal part

  Scenario: An estimate of latency stays within what was seen and is forgotten
    Then forwarding property: an estimated latency lies among those seen, and is unknown 20 seconds later

  Scenario: A packet to no route is refused at once, and to no back end too
    Given a forwarding node with routes and back ends
    Then forwarding resets a flow to no route
    And forwarding resets a flow to a service without back ends

  Scenario: The first rule that applies decides on a packet that opens a flow
    Then forwarding property: rules for a new flow apply in their order, whatever else is true
