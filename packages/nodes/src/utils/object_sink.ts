/** Listeners of watches that log outages. */
import type {
  ObjectChange,
  ObjectListener,
  StoredObject,
} from '@marigoldpost/platform';
import type {EventLogger} from '@marigoldpost/telemetry';

/** What a listener does with objects. */
export interface ObjectSink {
  replaceObjects(objects: readonly StoredObject[]): void;
  applyChange(change: ObjectChange): void;
}

/**
 * Creates a listener that passes objects on and logs outages.
 * @param prefix - Start of the keys watched.
 * @param logger - Where outages are logged.
 * @param sink - Takes the objects.
 */
export function createLoggedListener(
  prefix: string,
  logger: EventLogger,
  sink: ObjectSink,
): ObjectListener {
  return {
    replaceObjects: (objects) => sink.replaceObjects(objects),
    applyChange: (change) => sink.applyChange(change),
    noteLost: ({message}) => logger.log('watch_lost', {prefix, message}),
    noteBack: (outageMs) =>
      logger.log('watch_back', {prefix, outageMs: Math.round(outageMs)}),
  };
}

/**
 * Creates a sink that passes objects on to two others.
 * @param first - Learns of them first.
 * @param second - Learns of them then.
 */
export function joinSinks(first: ObjectSink, second: ObjectSink): ObjectSink {
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
 * Gets the prefix of the objects of a key's kind.
 * @param key - The key.
 */
export function getPrefix(key: string): string {
  return key.replace(/[^/]*$/, '');
}
