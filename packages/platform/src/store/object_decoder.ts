/** Decoding of objects that any program may have written. */
import type {StoredObject} from './object_store.js';

/**
 * Keys that are reported. Further ones are ignored without a report, so that a
 * faulty writer cannot fill the log.
 */
const maxReportedKeys = 1000;

/** Decoder of one kind, and the report of objects that it ignores. */
export interface ObjectDecoderOptions<Value> {
  /** Decodes an object; `undefined`, or an error, when it is malformed. */
  readonly decode: (object: StoredObject) => Value | undefined;
  /** Called when an object is malformed that was not, or was unknown, before. */
  readonly onIgnored?: (object: StoredObject) => void;
}

/**
 * Decodes the objects of a watch. A malformed object costs only itself: it
 * throws no error, and is reported once until its key has a sound value.
 */
export class ObjectDecoder<Value> {
  private readonly reported = new Set<string>();

  private constructor(private readonly options: ObjectDecoderOptions<Value>) {}

  /**
   * Creates a decoder.
   * @param options - Decoder of one object, and the report.
   */
  static create<Value>(
    options: ObjectDecoderOptions<Value>,
  ): ObjectDecoder<Value> {
    return new ObjectDecoder(options);
  }

  /**
   * Decodes an object; `undefined` when it is malformed.
   * @param object - Object of a listing or of a change.
   */
  decode(object: StoredObject): Value | undefined {
    const value = this.decodeOrIgnore(object);
    if (value === undefined) this.reportOnce(object);
    else this.reported.delete(object.key);
    return value;
  }

  private decodeOrIgnore(object: StoredObject): Value | undefined {
    try {
      return this.options.decode(object);
    } catch {
      return undefined;
    }
  }

  private reportOnce(object: StoredObject): void {
    const {reported} = this;
    if (reported.has(object.key) || reported.size >= maxReportedKeys) return;
    reported.add(object.key);
    this.options.onIgnored?.(object);
  }
}
