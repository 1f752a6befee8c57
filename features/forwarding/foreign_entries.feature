Feature: An entry whose service no configuration names takes nothing from a back end

  Scenario Outline: An entry of another program under a key of its own does not affect a back end
    Guards against resets of a living back end's flows, and against packets that go to another address.
    Given a forwarding node that learns of an entry for an unnamed service <when>
    And the entry has <what> of a back end that serves
    Then forwarding forwards the open flows of the back end to its address and resets none
    And forwarding gives the back end new flows

    Examples:
      | when                          | what                     |
      | by a watch                    | the address              |
      | by a watch                    | the token                |
      | by a watch                    | the address and token    |
      | in its first list             | the address              |
      | in its first list             | the token                |
      | in its first list             | the address and token    |
      | in its list before the routes | the address              |
      | in its list before the routes | the token                |
      | in its list before the routes | the address and token    |
      | from a peer                   | the address              |
      | from a peer                   | the token                |
      | from a peer                   | the address and token    |

  Scenario Outline: An entry of another program at a back end's own key leaves its open flows where they are
    Guards against packets of open flows that go to the address in such an entry.
    Given a forwarding node with one back end of a service
    When another program writes the entry of that back end with an unnamed service and <address>
    Then forwarding gives that service no new flow, and forwards its open flows to the address of the back end
    When that back end writes its entry again
    Then forwarding gives that service new flows

    Examples:
      | address         |
      | its address     |
      | another address |

  Scenario Outline: A balancer that starts after such an entry was written asks its peers where open flows go
    Guards against packets of open flows that go to the address in an entry under a back end's own key.
    Given a forwarding node that starts with an entry of another program at a back end's own key
    When forwarding receives a packet of an open flow of that back end
    And <what its peers do>
    Then forwarding forwards the packet to <address>

    Examples:
      | what its peers do                       | address                     |
      | a peer replies with that back end       | the address of the back end |
      | a peer sends that back end in a change  | the address of the back end |
      | no peer replies                         | the address in the entry    |

  Scenario: An invalid key that looks like an incarnation of a back end does not affect it
    Guards against an entry under the id and the start time of a back end that ends its new flows.
    Given a forwarding node with one back end of a service
    When an entry under the id and start time of that back end is unreadable, and then removed
    Then forwarding gives that service new flows

  Scenario: A back end that registers before its service is named is used once it is
    Given a forwarding node that learns of an entry for an unnamed service by a watch
    And the entry has the address of a back end that serves
    When a configuration names the service of the entry
    Then forwarding gives the entry's service new flows, and resets the flows of the former back end

  Scenario: A back end that starts again under its id for a service named later is used once it is
    Given a forwarding node with one back end of a service
    When another program writes the entry of that back end with an unnamed service and its address
    And a configuration names the service of the entry
    Then forwarding gives the entry's service new flows

  Scenario: Open flows of a service that no route names any more stay open, also at a balancer that starts later
    Given a forwarding node with one back end of a service
    When a configuration names that service no longer
    Then forwarding and a node that starts now forward its open flows

  Scenario: An entry of another program is no control of a check once the routes are known
    Guards against a back end that is gone and stays listed as usable, as the control is gone too.
    Then entries: any back end is a control before services are named, and only one of a named service afterwards

  Scenario: A back end that starts under the id of an entry of another program is used, whoever reports it
    Guards against a listed back end that is lost because its record is as late as the end of that entry.
    Then entries: a record at the revision at which an entry of an unnamed service ended is applied

  Scenario: Entries of other programs change nothing for back ends, whatever the order
    Guards against entries of unnamed services that take tokens or addresses in any order of events.
    Then entries property: back ends are the same with and without entries of unnamed services
