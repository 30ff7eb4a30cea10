/** Faults that a test has switched on for an in-memory engine. */
import {Deferred} from '@marigoldpost/common';
import type {EngineRequest} from '@marigoldpost/targets';

/** Switches of one engine. */
export class EngineFaults {
  private hanging = false;
  private changed = Deferred.create<void>();
  private crashText: string | undefined;
  private lostAnswers = 0;
  private readonly truncations: number[] = [];

  private constructor() {}

  /** Creates switches that are all off. */
  static create(): EngineFaults {
    return new EngineFaults();
  }

  /** Whether nothing is answered. */
  get isHanging(): boolean {
    return this.hanging;
  }

  /**
   * Makes the engine stop or go on answering; generations go on inside.
   * @param isHanging - Whether nothing is answered.
   */
  setHanging(isHanging: boolean): void {
    this.hanging = isHanging;
    this.changed.resolve();
    this.changed = Deferred.create<void>();
  }

  /**
   * Makes every request crash the engine that has a text in a message.
   * @param text - The text; none ends this.
   */
  setCrashText(text: string | undefined): void {
    this.crashText = text;
  }

  /**
   * Makes the next readings of streams stop without an end.
   * @param indexes - Position of the first token left out, one for each.
   */
  addTruncations(...indexes: number[]): void {
    this.truncations.push(...indexes);
  }

  /**
   * Makes the next calls other than streams take effect without an answer.
   * @param count - Number of calls.
   */
  loseNextAnswers(count: number): void {
    this.lostAnswers = count;
  }

  /** Waits until the engine stops or goes on answering. */
  whenChanged(): Promise<void> {
    return this.changed.promise;
  }

  /**
   * Whether a request crashes the engine.
   * @param request - The request.
   */
  isCrash({messages}: EngineRequest): boolean {
    const {crashText} = this;
    if (crashText === undefined) return false;
    return messages.some(({content}) => content.includes(crashText));
  }

  /** Takes the position where a reading stops, if one is to stop. */
  takeTruncation(): number | undefined {
    return this.truncations.shift();
  }

  /** Takes one lost answer; false when none is due. */
  takeLostAnswer(): boolean {
    if (this.lostAnswers === 0) return false;
    this.lostAnswers -= 1;
    return true;
  }
}
