/** Faults that tests inject into the in-memory object API. */
import {MarigoldpostError, type Clock, type Random} from '@marigoldpost/common';

/** Injected faults; all clients of one store share them. */
export class ObjectApiFaults {
  callDurationMs = 0;
  writeResponsesToLose = 0;
  callsToFail = 0;
  private isOut = false;
  /** Names of the disconnected clients. */
  private readonly cutOff = new Set<string>();
  private readonly listeners = new Set<() => void>();

  private constructor(
    private readonly clock: Clock,
    private readonly random: Random | undefined,
  ) {}

  /**
   * Creates an instance without faults.
   * @param clock - Clock that slow calls sleep on.
   * @param random - Adds jitter of up to ±50 % to the duration of calls;
   *     `undefined` for no jitter.
   */
  static create(clock: Clock, random: Random | undefined): ObjectApiFaults {
    return new ObjectApiFaults(clock, random);
  }

  /**
   * Starts or ends an outage of the store.
   * @param isOut - Whether all calls fail.
   */
  setOutage(isOut: boolean): void {
    this.isOut = isOut;
    this.notify();
  }

  /**
   * Disconnects or reconnects a client.
   * @param name - Name of the client.
   * @param isOffline - Whether the client's calls fail.
   */
  setOffline(name: string, isOffline: boolean): void {
    if (isOffline) this.cutOff.add(name);
    else this.cutOff.delete(name);
    this.notify();
  }

  /**
   * Checks whether a client's calls reach the store.
   * @param name - Name of the client.
   */
  isReachable(name: string): boolean {
    return !this.isOut && !this.cutOff.has(name);
  }

  /**
   * Simulates the transmission of a request to the store. Throws
   * `store_unavailable` if the request is lost.
   * @param name - Name of the client.
   */
  async simulateRequest(name: string): Promise<void> {
    await this.sleepHalfCall();
    if (this.callsToFail > 0) {
      this.callsToFail -= 1;
      throw createUnavailable();
    }
    if (!this.isReachable(name)) throw createUnavailable();
  }

  /**
   * Simulates the transmission of a write's response to the client. Throws
   * `store_ambiguous` if the response is lost.
   * @param name - Name of the client.
   */
  async simulateWriteResponse(name: string): Promise<void> {
    const isLost = this.writeResponsesToLose > 0;
    if (isLost) this.writeResponsesToLose -= 1;
    await this.sleepHalfCall();
    if (!isLost && this.isReachable(name)) return;
    throw MarigoldpostError.create(
      'store_ambiguous',
      'the response of the object API was lost',
    );
  }

  /**
   * Simulates the transmission of a read's response to the client. Throws
   * `store_unavailable` if the response is lost.
   * @param name - Name of the client.
   */
  async simulateReadResponse(name: string): Promise<void> {
    await this.sleepHalfCall();
    if (!this.isReachable(name)) throw createUnavailable();
  }

  /**
   * Adds a listener for outages and disconnected clients.
   * @param listener - Called after each change of reachability.
   * @returns Function that removes the listener.
   */
  addListener(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private notify(): void {
    for (const listener of [...this.listeners]) listener();
  }

  private async sleepHalfCall(): Promise<void> {
    if (this.callDurationMs === 0) return;
    const share = this.random === undefined ? 1 : 0.5 + this.random.next();
    await this.clock.sleep((this.callDurationMs / 2) * share);
  }
}

/** Creates the error of a call that had no effect or only read. */
export function createUnavailable(): MarigoldpostError {
  return MarigoldpostError.create(
    'store_unavailable',
    'the object API does not answer',
  );
}
