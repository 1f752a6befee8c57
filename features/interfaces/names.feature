Feature: Public names and formats stay the same

  The names are recorded in the files of this directory. A new name is added there;
  a recorded name is neither changed nor removed.

  Scenario Outline: Sets of names
    Then interfaces: the names of "<what>" match the record

    Examples:
      | what                              |
      | places of the platform's settings |
      | deploy file                       |
      | metrics on the platform           |
      | metrics of the operators' API     |
      | log events                        |
      | log line fields                   |
      | reasons of refused packets        |
      | exit codes                        |
      | paths of the operators' API       |
      | errors of the operators' API      |
      | status of a balancer              |
      | command options                   |
      | environment variables             |
      | resources                         |

  Scenario: Log events of sloepond's own balancer
    Then interfaces: sloepond's own balancer still has the recorded log events

  Scenario: Every recorded set of names is compared
    Then interfaces: every recorded set of names is compared

  Scenario: The platform's settings file
    Given interfaces: the recorded settings file of the platform
    Then interfaces: its settings match the record
    And interfaces: each of its fields in the record changes the settings, and no other does

  Scenario: The settings file of sloepond's own balancer
    Given interfaces: the recorded settings file of sloepond's own balancer
    Then interfaces: it is accepted and the settings have the values in the file
    And interfaces: a settings file with only the required fields has the recorded defaults
    And interfaces: each recorded policy is accepted
    And interfaces: each recorded invalid setting is refused with the recorded findings

  Scenario: Resources
    Then interfaces: each example of resources and one with every field are accepted
