Feature: Names and forms that others rely on stay

  The names are those of the files beside this one. A name that is added is written there;
  one that is there is neither changed nor removed.

  Scenario Outline: Sets of names
    Then interfaces: the names of "<what>" are those on record

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

  Scenario: Log events of its own balancer
    Then interfaces: its own balancer still has the log events on record

  Scenario: No set of names is left out
    Then interfaces: every set of names on record is compared

  Scenario: The platform's settings file
    Given interfaces: the settings file of the platform on record
    Then interfaces: it says what is on record
    And interfaces: each of its fields that is read changes what it says, and no other does

  Scenario: The settings file of its own balancer
    Given interfaces: the settings file of its own balancer on record
    Then interfaces: it is accepted and what is read from it has the values written
    And interfaces: a settings file with only the fields that are needed has the defaults on record
    And interfaces: each policy on record is accepted
    And interfaces: each wrong setting on record is refused in the words on record

  Scenario: Resources
    Then interfaces: each example of resources is accepted, as is one with every field
