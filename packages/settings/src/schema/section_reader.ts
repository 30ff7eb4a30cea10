/** Reads a section's values by its table of keys. */
import type {IniSection} from '../ini/ini_document.js';
import type {TextProblems} from '../ini/text_problem.js';
import {getNearestName} from '../utils/nearest_name.js';
import type {KeyDefinition, KeyTable, KeyValues} from './key_definition.js';

/**
 * Gets the values of a section, or nothing when one of them is missing or
 * wrong; each such key becomes a problem.
 * @param section - The section.
 * @param table - Its keys.
 * @param problems - Takes the problems.
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
  const place = {line, section: section.title, key};
  if (text === undefined) {
    if (!definition.isRequired) return {isValid: true};
    const message = `key is missing; expected ${definition.expected}`;
    problems.add({...place, message});
    return {isValid: false};
  }
  const result = definition.schema.safeParse(text);
  if (result.success) return {isValid: true, value: result.data};
  const message = `expected ${definition.expected}, found "${text}"`;
  problems.add({...place, message});
  return {isValid: false};
}
