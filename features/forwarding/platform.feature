Feature: The platform's packet, store and settings formats

  Scenario: A packet is decoded and forwarded as in the platform's documentation
    Then platform packets match the documented example

  Scenario: Forwarding a packet changes only its token
    Then platform property: a forwarded packet differs in its token only

  Scenario: Datagrams that are not packets are dropped
    Then platform property: any datagram is decoded or dropped

  Scenario: Settings files are parsed and unknown fields ignored
    Then platform settings are parsed from lines

  Scenario: Every response of the store is decoded or reported as a failure
    Then platform documents become routes and back ends
    And platform property: any response of the store becomes an event

  Scenario: A response is parsed independently of how it is split
    Then platform property: a response split anywhere is the same response

  Scenario: A list of several pages is read completely
    Then platform pages are merged under the revision of the first page
    And a platform read fails after repeated failures of a page

  Scenario: The platform's names occur only in its adapter
    Then the platform's names occur in the adapter only
