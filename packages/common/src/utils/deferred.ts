/** A promise that is settled from outside. */
export class Deferred<Value> {
  readonly promise: Promise<Value>;
  private resolvePromise!: (value: Value) => void;
  private rejectPromise!: (error: Error) => void;

  private constructor() {
    this.promise = new Promise((resolve, reject) => {
      this.resolvePromise = resolve;
      this.rejectPromise = reject;
    });
  }

  /** Creates an unsettled promise. */
  static create<Value>(): Deferred<Value> {
    return new Deferred<Value>();
  }

  /**
   * Fulfils the promise; later settlements are ignored.
   * @param value - Its value.
   */
  resolve(value: Value): void {
    this.resolvePromise(value);
  }

  /**
   * Rejects the promise; later settlements are ignored.
   * @param error - Its reason.
   */
  reject(error: Error): void {
    this.rejectPromise(error);
  }
}
