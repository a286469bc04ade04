Feature: Short soak of entry processes under injected faults

  Scenario Outline: invariants hold under a series of faults
    When the soak runs with seed <seed> for <seconds> seconds
    Then no invariant is violated and requests were served

    Examples: the usual seeds
      | seed | seconds |
      | 1    | 8       |
      | 2    | 8       |

    Examples: seeds that failed once
      # Two evacuations of one zone overlapped, and the second ended the soak's task.
      | seed       | seconds |
      | 2612050121 | 10      |
      # Sound requests were refused for 0.1 s for the first part that they share with deadly ones.
      | 2612050205 | 8       |

  Scenario: a missing answer is reported without what its entry did
    Given a caller of a soak that waits for its answer
    When no answer comes, and the soak writes its report
    Then the violation names the entry and when the request was sent
    And the report holds the log of that entry
