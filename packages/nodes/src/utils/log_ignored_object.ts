/** Reports objects that could not be decoded. */
import type {StoredObject} from '@marigoldpost/platform';
import type {EventLogger} from '@marigoldpost/telemetry';

/** Keys come from other programs; a line shows this part of them. */
const maxKeyLength = 200;

/**
 * Creates a function that logs a malformed object by its key, without content.
 * @param logger - Logger of the lines.
 */
export function createIgnoredObjectLog(
  logger: EventLogger,
): (object: StoredObject) => void {
  return ({key, version}) => {
    logger.log('object_ignored', {key: key.slice(0, maxKeyLength), version});
  };
}
