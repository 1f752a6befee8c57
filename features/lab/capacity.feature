Feature: The lab measures capacity by size

  Scenario: Capacity fits find a known line and tell noise
    Then a capacity fit finds every line and every logarithm again
    And the error of a capacity fit grows with the noise
    And a capacity fit of two sizes is refused

  Scenario: Capacity beyond the largest size is never less than measured there
    Then no capacity series falls beyond its largest size

  Scenario: A hollow fleet of the capacity measures runs the real core
    Given a hollow fleet of 2 capacity cells of 5
    When the capacity platform declares a change that only one cell can read
    Then the change is in force in the whole hollow fleet after 5 seconds
    When a balancer of the hollow fleet crashes for 8 seconds
    Then its capacity cell has a view of 4 and the other one of 5
    And the bytes counted in the hollow fleet are those of its datagrams

  Scenario: The capacity command works with tiny sizes
    When the lab capacity command runs with tiny sizes
    Then each capacity series has three sizes or more and a fit
    And the capacity report covers every role and names every limit that is not met first
    And the capacity tables are complete in text and in Markdown

  Scenario: The capacity command writes only between the markers of a page
    When the lab capacity command with tiny sizes writes into a page with markers
    Then that capacity page has the Markdown tables between them and its own text around them
    And a capacity page without its two markers is refused and stays as it is

  Scenario: The capacity page shows what the command measures
    When the lab capacity command runs with tiny sizes
    Then the capacity page has every table of the command and every cost in it
