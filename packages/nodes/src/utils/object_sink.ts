/** Consumers of watched objects, and adapters between them. */
import type {
  ObjectChange,
  ObjectListener,
  StoredObject,
} from '@marigoldpost/platform';
import type {EventLogger} from '@marigoldpost/telemetry';

/** Consumer of the objects of a watch, without its outages. */
export interface ObjectSink {
  replaceObjects(objects: readonly StoredObject[]): void;
  applyChange(change: ObjectChange): void;
}

/**
 * Creates a listener that forwards objects to a sink and logs outages.
 * @param prefix - Watched key prefix, for the log.
 * @param logger - Logger of the outages.
 * @param sink - Consumer of the objects.
 */
export function createLoggingListener(
  prefix: string,
  logger: EventLogger,
  sink: ObjectSink,
): ObjectListener {
  return {
    replaceObjects: (objects) => sink.replaceObjects(objects),
    applyChange: (change) => sink.applyChange(change),
    onWatchFailed: ({message}) => logger.log('watch_lost', {prefix, message}),
    onWatchRecovered: (outageMs) =>
      logger.log('watch_back', {prefix, outageMs: Math.round(outageMs)}),
  };
}

/**
 * Creates a sink that forwards objects to two others.
 * @param first - Sink that is called first.
 * @param second - Sink that is called second.
 */
export function combineSinks(
  first: ObjectSink,
  second: ObjectSink,
): ObjectSink {
  return {
    replaceObjects: (objects) => {
      first.replaceObjects(objects);
      second.replaceObjects(objects);
    },
    applyChange: (change) => {
      first.applyChange(change);
      second.applyChange(change);
    },
  };
}

/**
 * Creates a listener that forwards objects and outages to two others.
 * @param first - Listener that is called first.
 * @param second - Listener that is called second.
 */
export function combineListeners(
  first: ObjectListener,
  second: ObjectListener,
): ObjectListener {
  const both = [first, second];
  return {
    ...combineSinks(first, second),
    onVersionRead: (version) => {
      for (const one of both) one.onVersionRead?.(version);
    },
    onWatchFailed: (error) => {
      for (const one of both) one.onWatchFailed(error);
    },
    onWatchRecovered: (outageMs, failedAgoMs) => {
      for (const one of both) one.onWatchRecovered(outageMs, failedAgoMs);
    },
  };
}

/**
 * Gets the key prefix of a kind: the key up to and including its last slash.
 * @param key - Key of the form `<kind>/<name>`.
 */
export function getKindPrefix(key: string): string {
  return key.replace(/[^/]*$/, '');
}
