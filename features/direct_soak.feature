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
