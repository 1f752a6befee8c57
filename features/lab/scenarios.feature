Feature: Scenarios of the lab are typed and validated documents

  Scenario: The lab refuses unknown keys and reports all findings
    When the lab reads a scenario with three mistakes
    Then the lab reports these findings
      | place            | message        |
      | bad.toml: colour | unknown key    |
      | bad.toml: network | object contains unknown field `latency` |
      | bad.toml: faults[2] | 'flood'      |

  Scenario: The lab refuses faults of machines that do not exist
    When the lab reads a scenario with a crash of balancer-99 and load for a service that is not declared
    Then the lab reports 2 findings

  Scenario: The shipped scenarios of the lab are valid
    Then every shipped lab scenario is valid and has at least 20000 flows
