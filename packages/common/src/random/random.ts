/** Randomness as the project's code sees it: passed in, seeded. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const uint32Range = 2 ** 32;
const tokenAlphabet = 'abcdefghijklmnopqrstuvwxyz0123456789';

/** Source of random numbers. */
export abstract class Random {
  /** Gets a number from 0 (included) to 1 (excluded). */
  abstract next(): number;

  /**
   * Gets a whole number from 0 to below a bound.
   * @param bound - Upper bound, excluded.
   */
  nextInteger(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /**
   * Gets a text of lower-case letters and digits.
   * @param length - Number of characters.
   */
  nextToken(length: number): string {
    const pick = () => tokenAlphabet[this.nextInteger(tokenAlphabet.length)];
    return Array.from({length}, pick).join('');
  }
}

/** Random numbers that a seed determines. */
export class SeededRandom extends Random {
  private constructor(
    private readonly generator: ReturnType<typeof xoroshiro128plus>,
  ) {
    super();
  }

  /**
   * Creates a source.
   * @param seed - Whole number; the same seed gives the same numbers.
   */
  static create(seed: number): SeededRandom {
    return new SeededRandom(xoroshiro128plus(seed));
  }

  override next(): number {
    return (this.generator.next() >>> 0) / uint32Range;
  }
}
