/** Injected, seedable random number generators. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const uint32Range = 2 ** 32;
const tokenAlphabet = 'abcdefghijklmnopqrstuvwxyz0123456789';

/** Random number generator that is passed to the code that needs it. */
export abstract class Random {
  /** Draws a number from 0 (inclusive) to 1 (exclusive). */
  abstract next(): number;

  /**
   * Draws an integer from 0 (inclusive) to a bound.
   * @param bound - Upper bound, exclusive.
   */
  nextInteger(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /**
   * Draws a string of lower-case letters and digits.
   * @param length - Number of characters.
   */
  nextToken(length: number): string {
    const pick = () => tokenAlphabet[this.nextInteger(tokenAlphabet.length)];
    return Array.from({length}, pick).join('');
  }
}

/** Deterministic generator (xoroshiro128+). */
export class SeededRandom extends Random {
  private constructor(
    private readonly generator: ReturnType<typeof xoroshiro128plus>,
  ) {
    super();
  }

  /**
   * Creates a generator.
   * @param seed - Integer; the same seed yields the same sequence.
   */
  static create(seed: number): SeededRandom {
    return new SeededRandom(xoroshiro128plus(seed));
  }

  override next(): number {
    return (this.generator.next() >>> 0) / uint32Range;
  }
}
