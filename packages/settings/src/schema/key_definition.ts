/** Definitions of INI keys: type, unit, default and range. */
import {isIP} from 'node:net';
import * as z from 'zod';

/** Schema and documentation of one key. */
export interface KeyDefinition<Value> {
  readonly description: string;
  /** Description of valid values, with the range. */
  readonly expected: string;
  readonly unit?: string;
  /** Whether the key must be present. */
  readonly isRequired: boolean;
  /** Text that is parsed when the key is absent. */
  readonly defaultText?: string;
  readonly schema: z.ZodType<Value, string>;
}

/** Key definitions of one section by name. */
export type KeyTable = Readonly<Record<string, KeyDefinition<unknown>>>;

/** Parsed values of a section with the given keys. */
export type KeyValues<Table extends KeyTable> = {
  readonly [Key in keyof Table]: z.output<Table[Key]['schema']>;
};

/** Options of keys of all types. */
export interface KeyOptions {
  readonly description: string;
  readonly unit?: string;
  readonly defaultText?: string;
}

/** Options of numeric keys; the range is inclusive. */
export interface NumberKeyOptions extends KeyOptions {
  readonly min: number;
  readonly max: number;
}

const namePattern = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;
const modelPattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;
const hashPattern = /^[0-9a-f]{64}$/;
const integerPattern = /^\d{1,15}$/;
const decimalPattern = /^\d{1,12}(\.\d{1,6})?$/;
const addressPattern = /^https?:\/\/([0-9.]+|\[[0-9a-fA-F:]+\]):(\d{1,5})$/;
const maxPort = 65_535;

/**
 * Checks the format of the name of a data centre, service, target, team,
 * operator or daemon.
 * @param text - Untrusted text.
 */
export function isWellFormedName(text: string): boolean {
  return namePattern.test(text);
}

/** Description of well-formed names for messages. */
export const nameExpectation =
  'lower-case letters, digits and hyphens, at most 63';

function define<Value>(
  schema: z.ZodType<Value, string>,
  expected: string,
  options: KeyOptions,
): KeyDefinition<Value> {
  const isRequired = options.defaultText === undefined;
  return {...options, schema, expected, isRequired};
}

/**
 * Makes a key optional; its value is undefined when it is absent.
 * @param key - Definition to copy.
 */
export function toOptionalKey<Value>(
  key: KeyDefinition<Value>,
): KeyDefinition<Value | undefined> {
  return {...key, isRequired: false};
}

/**
 * Defines an integer key.
 * @param options - Range and default.
 */
export function integerKey(options: NumberKeyOptions): KeyDefinition<number> {
  const {min, max} = options;
  const schema = z
    .string()
    .regex(integerPattern)
    .transform(Number)
    .refine((value) => value >= min && value <= max);
  return define(schema, `a whole number from ${min} to ${max}`, options);
}

/**
 * Defines a decimal key with at most 6 decimal places.
 * @param options - Range and default.
 */
export function decimalKey(options: NumberKeyOptions): KeyDefinition<number> {
  const {min, max} = options;
  const schema = z
    .string()
    .regex(decimalPattern)
    .transform(Number)
    .refine((value) => value >= min && value <= max);
  return define(schema, `a number from ${min} to ${max}`, options);
}

/**
 * Defines a boolean key with the values `yes` and `no`.
 * @param options - Description and default.
 */
export function booleanKey(options: KeyOptions): KeyDefinition<boolean> {
  const schema = z.enum(['yes', 'no']).transform((value) => value === 'yes');
  return define(toTextSchema(schema), '"yes" or "no"', options);
}

/**
 * Defines an enumeration key.
 * @param values - Valid values.
 * @param options - Description and default.
 */
export function choiceKey<const Value extends string>(
  values: readonly Value[],
  options: KeyOptions,
): KeyDefinition<Value> {
  const expected = values.map((value) => `"${value}"`).join(', ');
  return define(toTextSchema(z.enum(values)), `one of ${expected}`, options);
}

/**
 * Defines a key whose value is a well-formed name.
 * @param options - Description and default.
 */
export function nameKey(options: KeyOptions): KeyDefinition<string> {
  return define(z.string().regex(namePattern), nameExpectation, options);
}

/**
 * Defines a key of any text that is not empty.
 * @param options - Description and default.
 */
export function textKey(options: KeyOptions): KeyDefinition<string> {
  return define(z.string().min(1), 'a text that is not empty', options);
}

/**
 * Defines a key of comma-separated, unique names.
 * @param options - Description and default.
 */
export function nameListKey(
  options: KeyOptions,
): KeyDefinition<readonly string[]> {
  const expected = 'names with commas between them, none twice';
  return define(toListSchema(namePattern), expected, options);
}

/**
 * Defines a key of comma-separated, unique model names.
 * @param options - Description and default.
 */
export function modelListKey(
  options: KeyOptions,
): KeyDefinition<readonly string[]> {
  const expected =
    'models with commas between them, none twice (letters, digits, ".", "_", "-")';
  return define(toListSchema(modelPattern), expected, options);
}

/**
 * Defines a key of comma-separated SHA-256 hashes in hexadecimal.
 * @param options - Description and default.
 */
export function hashListKey(
  options: KeyOptions,
): KeyDefinition<readonly string[]> {
  const expected =
    'SHA-256 hashes of keys as 64 lower-case hexadecimal digits, with commas between them';
  return define(toListSchema(hashPattern), expected, options);
}

/**
 * Defines a key of comma-separated `name:share` pairs; shares are from 0 to 1.
 * @param options - Description and default.
 */
export function shareListKey(
  options: KeyOptions,
): KeyDefinition<ReadonlyMap<string, number>> {
  const pattern = /^[a-z0-9-]+:(0(\.\d{1,6})?|1(\.0{1,6})?)$/;
  const schema = toListSchema(pattern)
    .transform((items) => items.map((item) => item.split(':')))
    .refine(
      (pairs) => new Set(pairs.map(([name]) => name)).size === pairs.length,
    )
    .transform(
      (pairs) =>
        new Map(pairs.map(([name = '', share]) => [name, Number(share)])),
    );
  const expected =
    '"data centre:share" with commas between them, as "a:0.5, b:0.5"';
  return define(schema, expected, options);
}

/**
 * Defines a key of an IPv4 or IPv6 address.
 * @param options - Description and default.
 */
export function ipKey(options: KeyOptions): KeyDefinition<string> {
  const schema = z.string().refine((text) => isIP(text) !== 0);
  return define(schema, 'an IP address', options);
}

/**
 * Defines a key of a URL with scheme, IP and port, without a path.
 * @param options - Description and default.
 */
export function addressKey(options: KeyOptions): KeyDefinition<string> {
  const schema = z.string().refine(isProcessAddress);
  return define(schema, 'an address as http://<ip>:<port>', options);
}

function isProcessAddress(text: string): boolean {
  const [, host = '', port = ''] = addressPattern.exec(text) ?? [];
  const ip = host.startsWith('[') ? host.slice(1, -1) : host;
  return isIP(ip) !== 0 && Number(port) >= 1 && Number(port) <= maxPort;
}

function toTextSchema<Value>(
  schema: z.ZodType<Value, string>,
): z.ZodType<Value, string> {
  return z.string().pipe(schema as z.ZodType<Value, string>);
}

function toListSchema(pattern: RegExp): z.ZodType<readonly string[], string> {
  return z
    .string()
    .transform((text) => text.split(',').map((item) => item.trim()))
    .refine((items) => items.every((item) => pattern.test(item)))
    .refine((items) => new Set(items).size === items.length);
}
