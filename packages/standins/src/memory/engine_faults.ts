/** Faults that tests inject into an in-memory engine. */
import {Deferred} from '@marigoldpost/common';
import type {EngineRequest} from '@marigoldpost/targets';

/** Injected faults of one engine. */
export class EngineFaults {
  private hanging = false;
  private changed = Deferred.create<void>();
  private crashText: string | undefined;
  private responsesToLose = 0;
  private readonly truncationIndexes: number[] = [];

  private constructor() {}

  /** Creates an instance without faults. */
  static create(): EngineFaults {
    return new EngineFaults();
  }

  /** Whether the engine sends no responses. */
  get isHanging(): boolean {
    return this.hanging;
  }

  /**
   * Makes the engine hang or recover. Generations continue while it hangs.
   * @param isHanging - Whether the engine sends no responses.
   */
  setHanging(isHanging: boolean): void {
    this.hanging = isHanging;
    this.changed.resolve();
    this.changed = Deferred.create<void>();
  }

  /**
   * Makes the engine crash on each request with a message that contains a text.
   * @param text - Text to search for; `undefined` disables the fault.
   */
  setCrashText(text: string | undefined): void {
    this.crashText = text;
  }

  /**
   * Truncates the next reads of streams; each stops without an `end` event.
   * @param indexes - Position of the first omitted token, one for each read.
   */
  addTruncations(...indexes: number[]): void {
    this.truncationIndexes.push(...indexes);
  }

  /**
   * Loses the responses of the next calls other than streams. The calls take
   * effect.
   * @param count - Number of responses to lose.
   */
  loseNextResponses(count: number): void {
    this.responsesToLose = count;
  }

  /** Waits until `setHanging` is called. */
  waitForHangingChange(): Promise<void> {
    return this.changed.promise;
  }

  /**
   * Checks whether a request crashes the engine.
   * @param request - Request to start a generation.
   */
  crashesOn({messages}: EngineRequest): boolean {
    const {crashText} = this;
    if (crashText === undefined) return false;
    return messages.some(({content}) => content.includes(crashText));
  }

  /** Consumes the next truncation; `undefined` if there is none. */
  consumeTruncationIndex(): number | undefined {
    return this.truncationIndexes.shift();
  }

  /** Consumes one lost response; `false` if there is none. */
  consumeLostResponse(): boolean {
    if (this.responsesToLose === 0) return false;
    this.responsesToLose -= 1;
    return true;
  }
}
