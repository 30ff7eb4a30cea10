/** Faults that a test has switched on for the in-memory object API. */
import {MarigoldpostError, type Clock, type Random} from '@marigoldpost/common';

/** Switches that all clients of one store share. */
export class FaultSwitches {
  slownessMs = 0;
  answersToLose = 0;
  callsToFail = 0;
  private isOut = false;
  private readonly cutOff = new Set<string>();
  private readonly listeners = new Set<() => void>();

  private constructor(
    private readonly clock: Clock,
    private readonly random: Random | undefined,
  ) {}

  /**
   * Creates switches that are all off.
   * @param clock - Times slow calls.
   * @param random - Spreads slow calls; none makes each as slow as set.
   */
  static create(clock: Clock, random: Random | undefined): FaultSwitches {
    return new FaultSwitches(clock, random);
  }

  /**
   * Takes the store down or up.
   * @param isOut - Whether calls fail.
   */
  setOutage(isOut: boolean): void {
    this.isOut = isOut;
    this.notify();
  }

  /**
   * Cuts a client off, or joins it again.
   * @param name - The client.
   * @param isCutOff - Whether its calls fail.
   */
  setCutOff(name: string, isCutOff: boolean): void {
    if (isCutOff) this.cutOff.add(name);
    else this.cutOff.delete(name);
    this.notify();
  }

  /**
   * Whether a client's calls get through.
   * @param name - The client.
   */
  isReachable(name: string): boolean {
    return !this.isOut && !this.cutOff.has(name);
  }

  /**
   * Waits for one way of a call; throws `store_unavailable` when it is lost.
   * @param name - The client.
   */
  async passRequest(name: string): Promise<void> {
    await this.waitHalf();
    if (this.callsToFail > 0) {
      this.callsToFail -= 1;
      throw createUnavailable();
    }
    if (!this.isReachable(name)) throw createUnavailable();
  }

  /**
   * Waits for the way back of a write; throws `store_ambiguous` when it is lost.
   * @param name - The client.
   */
  async passWriteAnswer(name: string): Promise<void> {
    const isLost = this.answersToLose > 0;
    if (isLost) this.answersToLose -= 1;
    await this.waitHalf();
    if (!isLost && this.isReachable(name)) return;
    throw MarigoldpostError.create(
      'store_ambiguous',
      'the answer of the object API was lost',
    );
  }

  /**
   * Waits for the way back of a read; throws `store_unavailable`.
   * @param name - The client.
   */
  async passReadAnswer(name: string): Promise<void> {
    await this.waitHalf();
    if (!this.isReachable(name)) throw createUnavailable();
  }

  /**
   * Adds a listener for changes of who is reachable.
   * @param listener - The listener.
   * @returns Function that removes the listener.
   */
  addListener(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private notify(): void {
    for (const listener of [...this.listeners]) listener();
  }

  private async waitHalf(): Promise<void> {
    if (this.slownessMs === 0) return;
    const share = this.random === undefined ? 1 : 0.5 + this.random.next();
    await this.clock.sleep((this.slownessMs / 2) * share);
  }
}

/** Creates the error of a call that had no effect. */
export function createUnavailable(): MarigoldpostError {
  return MarigoldpostError.create(
    'store_unavailable',
    'the object API does not answer',
  );
}
