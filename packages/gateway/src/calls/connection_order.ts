/** A request among the others of its connection, whose responses have an order. */
export interface ConnectionOrder {
  /**
   * Whether no later request has been read from the connection; a response that
   * closes it would cut the others.
   */
  isLastRead(): boolean;
  /**
   * Waits until the responses to earlier requests have been sent. False if the
   * connection closes instead.
   */
  waitForEarlierResponses(): Promise<boolean>;
}
