/** Definition of one log event. */

/** Severity of an event, least severe first. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** Type of one field; a question mark makes the field optional. */
export type FieldType =
  'string' | 'number' | 'boolean' | 'string?' | 'number?' | 'boolean?';

/** Number, severity, message and fields of one event. */
export interface EventDefinition {
  readonly number: number;
  readonly level: EventLevel;
  /** Text of the log line, in the field `msg`; unique in the catalogue. */
  readonly message: string;
  readonly fields: Readonly<Record<string, FieldType>>;
}

/**
 * Defines an event.
 * @param number - Number that keeps its meaning for good.
 * @param level - Severity.
 * @param message - Text of the log line; unique in the catalogue.
 * @param fields - Types of the fields.
 */
export function defineEvent<const Fields extends Record<string, FieldType>>(
  number: number,
  level: EventLevel,
  message: string,
  fields: Fields,
) {
  return {number, level, message, fields};
}
