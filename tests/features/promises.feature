Feature: What must always hold, under two faults at once

  Scenario Outline: <first>, then <second>
    Given a fleet with answers and commands under way
    When the first fault comes: <first>
    And the second fault comes: <second>
    Then every answer is complete, with each layer once and in order
    And every command ran at most once
    And no command that was refused as not run has run
    And new requests are served once the faults are over

    Examples:
      | first              | second             |
      | engine killed      | store out          |
      | side killed        | engine killed      |
      | entry killed       | engine killed      |
      | side frozen        | store loses answers |
      | store out          | side stopped       |
      | preset switched    | engine killed      |
      | server retired     | store out          |
      | store slow         | entry killed       |
      | entry stopped      | side killed        |
      | engine killed      | engine killed      |
      | preset switched    | server retired     |
      | store loses answers | entry killed      |
      | zone killed        | store out          |
      | zone cut           | engine killed      |
      | zone cut           | preset switched    |
