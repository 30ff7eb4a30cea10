/** A promise that is settled through its methods. */
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
   * Fulfils the promise; later settlements have no effect.
   * @param value - Value that the promise is fulfilled with.
   */
  resolve(value: Value): void {
    this.resolvePromise(value);
  }

  /**
   * Rejects the promise; later settlements have no effect.
   * @param error - Reason of the rejection.
   */
  reject(error: Error): void {
    this.rejectPromise(error);
  }
}
