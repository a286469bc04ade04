Feature: What a restore holds, when something more happens within the hold
  Review of issue 32, second matter. A copy of the store lacks what was
  confirmed last; what an entry knows of it must hold until it is written again.

  Scenario Outline: a peer tells of the new era before the entry reads the copy itself
    Given a dispatcher before 2 plain targets
    And the store has reported that <change>
    When the store is lost
    And a peer of the new era tells what the copy holds
    And the store comes back in a new era with a copy from before
    Then the first target receives nothing for 2.0 seconds

    Examples:
      | change                  |
      | the first target drains |
      | the first target left   |
      | its zone is evacuated   |

  Scenario Outline: the copy is read twice within its era
    Given a dispatcher before 2 plain targets
    And the store has reported that <change>
    When the store comes back in a new era with a copy from before
    And the store comes back in a new era with a copy from before
    Then the first target receives nothing for 2.0 seconds

    Examples:
      | change                  |
      | the first target drains |
      | the first target left   |
      | its zone is evacuated   |

  Scenario Outline: the store is away again, so that nothing can be written again
    Given a dispatcher before 2 plain targets
    And the store has reported that <change>
    When the store comes back in a new era with a copy from before
    And the store is lost
    And 6 seconds pass
    Then the first target receives nothing for 2.0 seconds

    Examples:
      | change                  |
      | the first target drains |
      | the first target left   |

  Scenario: an evacuation is held for the whole time after a second restore
    Given a dispatcher before 2 plain targets
    And the store has reported that its zone is evacuated
    When the store comes back in a new era with a copy from before
    And 4 seconds pass
    And the store comes back in a second new era with a copy from before
    And 2 seconds pass
    And the store of the second new era reports nothing new
    Then the first target receives nothing for 1.0 seconds

  Scenario: a removal that was told within a grace period counts after a restore
    Given a dispatcher before 2 plain targets
    When the store is lost
    And the store of the old era answers again
    And the store of the old era reports that the first target left
    And the store comes back in a new era with a copy from before
    Then the first target receives nothing for 1.0 seconds

  Scenario Outline: a store that names no era is taken for restored where its revision goes back
    Given a dispatcher before 2 plain targets
    And the store has reported that <change>
    When a store that names no era comes back with a copy from before
    Then the first target receives nothing for 2.0 seconds

    Examples:
      | change                  |
      | the first target drains |
      | the first target left   |
      | its zone is evacuated   |
