/** Validation of a section against its key definitions. */
import type {IniSection} from '../ini/ini_document.js';
import type {TextProblems} from '../ini/text_problem.js';
import {getNearestName} from '../utils/nearest_name.js';
import type {KeyDefinition, KeyTable, KeyValues} from './key_definition.js';

/**
 * Parses the values of a section. Returns undefined when a key is missing,
 * unknown or invalid, and adds a problem for each such key.
 * @param section - Section to parse.
 * @param table - Definitions of the valid keys.
 * @param problems - Receives the problems.
 */
export function readSection<Table extends KeyTable>(
  section: IniSection,
  table: Table,
  problems: TextProblems,
): KeyValues<Table> | undefined {
  const hasUnknown = addUnknownKeys(section, table, problems);
  let isValid = !hasUnknown;
  const values = Object.entries(table).map(([key, definition]) => {
    const value = readKey(section, key, definition, problems);
    if (!value.isValid) isValid = false;
    return [key, value.value];
  });
  if (!isValid) return undefined;
  return Object.fromEntries(values) as KeyValues<Table>;
}

interface ReadValue {
  readonly isValid: boolean;
  readonly value?: unknown;
}

function addUnknownKeys(
  section: IniSection,
  table: KeyTable,
  problems: TextProblems,
): boolean {
  const unknown = section.entries.filter(({key}) => !Object.hasOwn(table, key));
  for (const {key, line} of unknown) {
    const nearest = getNearestName(key, Object.keys(table));
    const message = 'unknown key';
    problems.add({line, section: section.title, key, message, nearest});
  }
  return unknown.length > 0;
}

function readKey(
  section: IniSection,
  key: string,
  definition: KeyDefinition<unknown>,
  problems: TextProblems,
): ReadValue {
  const entry = section.entries.find((candidate) => candidate.key === key);
  const text = entry?.value ?? definition.defaultText;
  const line = entry?.line ?? section.line;
  const location = {line, section: section.title, key};
  if (text === undefined) {
    if (!definition.isRequired) return {isValid: true};
    const message = `key is missing; expected ${definition.expected}`;
    problems.add({...location, message});
    return {isValid: false};
  }
  const result = definition.schema.safeParse(text);
  if (result.success) return {isValid: true, value: result.data};
  const message = `expected ${definition.expected}, found "${text}"`;
  problems.add({...location, message});
  return {isValid: false};
}
