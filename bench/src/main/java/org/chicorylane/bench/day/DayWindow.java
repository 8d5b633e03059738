package org.chicorylane.bench.day;

/**
 * The requests that began in one window of a day.
 *
 * @param startSecond the window's start, in seconds from the start of traffic
 * @param requests the number of requests
 * @param inTime those answered with success within their target time
 * @param late those answered with success later
 * @param refused those that were refused at their last attempt
 * @param failed those that failed in another way
 * @param creditShare the credit earned as a share of the credit owed, from 0 to 1
 */
record DayWindow(
    int startSecond,
    int requests,
    int inTime,
    int late,
    int refused,
    int failed,
    double creditShare) {

  /** Returns the lost credit, in requests of average credit. */
  double lostRequests() {
    return requests * (1 - creditShare);
  }
}
