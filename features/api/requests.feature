Feature: Requests to the operators' API

  Background:
    Given an api of a member balancer with generation 7 in force

  Scenario: Status contains the node, its peers and its traffic
    When the api receives GET /v1/status
    Then the api answers 200
    And the api status equals the node's status with 512 control bytes per second sent

  Scenario: Resources in force are listed with their status
    When the api receives GET /v1/resources?kind=backend
    Then the api answers 200
    And the api lists exactly the back ends of generation 7
    And the api gives the status message of roster-1 "in force; takes new flows"
    And the api gives the status message of roster-2 "in force; takes no new flows: draining"
    And the api gives the status message of roster-3 "in force; takes no new flows: its hall is not permitted"

  Scenario: One resource is returned by kind and name
    When the api receives GET /v1/resources/Service/roster
    Then the api answers 200
    And the api resource is Service roster of generation 7

  Scenario Outline: Invalid requests are refused with an error code
    When the api receives <request>
    Then the api answers <status> with code <code>

    Examples:
      | request                                | status | code               |
      | GET /v1/resources?kind=Gateway         | 400    | invalid            |
      | GET /v1/resources/Service/none         | 404    | not-found          |
      | GET /v1/nothing                        | 404    | not-found          |
      | POST /v1/status                        | 405    | method-not-allowed |
      | GET /v1/watch?resource_version=x       | 400    | invalid            |
      | GET /v1/watch?resource_version=-1      | 400    | invalid            |
      | GET /v1/watch?resource_version=6       | 410    | version-gone       |
      | GET /v1/watch?resource_version=8       | 410    | version-gone       |

  Scenario: A watch does not accept HEAD requests
    When the api receives HEAD /v1/watch
    Then the api answers 405

  Scenario Outline: Reading and writing require separate tokens
    Given the api has a read token and a write token
    When the api receives <request> with the <token> token
    Then the api answers <status>

    Examples:
      | request            | token   | status |
      | GET /healthz       | no      | 200    |
      | GET /readyz        | no      | 200    |
      | GET /metrics       | no      | 401    |
      | GET /metrics       | read    | 200    |
      | GET /v1/status     | no      | 401    |
      | GET /v1/status     | wrong   | 401    |
      | GET /v1/status     | read    | 200    |
      | GET /v1/status     | write   | 200    |
      | GET /v1/resources  | no      | 401    |
      | GET /v1/watch      | wrong   | 401    |
      | POST /v1/check     | no      | 401    |
      | POST /v1/check     | read    | 200    |
      | POST /v1/leave     | no      | 401    |
      | POST /v1/leave     | wrong   | 401    |
      | POST /v1/leave     | read    | 403    |
      | POST /v1/leave     | write   | 202    |

  Scenario Outline: Without tokens everyone may read and nobody may write
    When the api receives <request>
    Then the api answers <status>

    Examples:
      | request        | status |
      | GET /v1/status | 200    |
      | POST /v1/leave | 401    |

  Scenario: Only a header with a configured token grants access
    Then the api authorizer refuses all other headers

  Scenario: Each authorized request to leave requests one planned stop
    Given the api has a read token and a write token
    When the api receives POST /v1/leave with the read token
    Then the api has requested 0 planned stops
    When the api receives POST /v1/leave with the write token
    Then the api has requested 1 planned stops

  Scenario: A dry run reports all findings and does not change the configuration
    When the api validates two back ends with 2 errors each
    Then the api answers 200
    And the api validation fails with findings about both back ends
    And generation 7 is still in force on the api node

  Scenario: A dry run of valid resources has no findings
    When the api validates the resources of generation 7 as YAML
    Then the api validation succeeds

  Scenario Outline: A body above the limit is refused
    Given the api accepts bodies up to 1000 bytes
    When the api validates a body of <size> bytes
    Then the api answers <status>

    Examples:
      | size | status |
      | 1000 | 200    |
      | 1001 | 413    |

  Scenario: A failing handler is counted, logged once and answered with an error
    Given the api node fails
    When the api receives GET /v1/status
    And the api receives GET /v1/status
    Then the api answers 500 with code internal
    And the api has counted 2 handler failures and logged 1

  Scenario: Readiness lists every reason why a balancer is not ready
    Given the api of a leaving balancer that is no member and has no configuration
    When the api receives GET /readyz
    Then the api answers 503
    And the api gives 3 reasons
    When the api receives GET /healthz
    Then the api answers 200

  Scenario: Metrics contain every counter and the state of the node
    Given every counter of the api node has a different value
    When the api receives GET /metrics
    Then the api answers 200
    And the api metrics hold every counter with its value
    And the api metrics hold these values
      | metric                                              | value |
      | sloepond_flows                                      | 40    |
      | sloepond_requests_in_flight                         | 3     |
      | sloepond_has_lease                                  | 1     |
      | sloepond_epoch                                      | 5     |
      | sloepond_generation                                 | 7     |
      | sloepond_members                                    | 2     |
      | sloepond_peers_suspected                            | 1     |
      | sloepond_state{state="active"}                      | 1     |
      | sloepond_state{state="leaving"}                     | 0     |
      | sloepond_peer_generation{peer="b2"}                 | 6     |
      | sloepond_control_bytes_per_second{direction="sent"} | 512   |
