/** Parser of the single sections of the operators' configuration. */
import type {IniDocument} from '../ini/ini_document.js';
import {type IniEntry, type IniSection} from '../ini/ini_document.js';
import type {TextProblems} from '../ini/text_problem.js';
import {
  isWellFormedName,
  type KeyTable,
  type KeyValues,
  nameExpectation,
} from '../schema/key_definition.js';
import {readSection} from '../schema/section_reader.js';
import {getNearestName} from '../utils/nearest_name.js';
import {operatorsSchema, operatorsSectionKinds} from './operators_schema.js';

type Schema = typeof operatorsSchema;

/** A section with its name and parsed values. */
export interface SectionOf<Values> {
  readonly section: IniSection;
  readonly name: string;
  readonly values: Values;
}

/** A service's section with the values of its kind. */
export type ServiceSection =
  | SectionOf<KeyValues<Schema['engine_service']> & {kind: 'engine'}>
  | SectionOf<KeyValues<Schema['plain_service']> & {kind: 'plain'}>;

/** Parsed sections of the configuration, without those that have problems. */
export interface OperatorsSections {
  readonly fleet: KeyValues<Schema['fleet']> | undefined;
  readonly dataCentres: SectionOf<KeyValues<Schema['data_centre']>>[];
  readonly services: ServiceSection[];
  readonly targets: SectionOf<KeyValues<Schema['target']>>[];
  readonly teams: SectionOf<KeyValues<Schema['team']>>[];
  readonly operators: SectionOf<KeyValues<Schema['operator']>>[];
  /** All sections, including those with problems. */
  readonly document: IniDocument;
}

/**
 * Parses all sections, without checks across sections.
 * @param document - Document to parse.
 * @param problems - Receives the problems of single sections.
 */
export function readOperatorsSections(
  document: IniDocument,
  problems: TextProblems,
): OperatorsSections {
  for (const section of document.sections) checkTitle(section, problems);
  const read = <Table extends KeyTable>(kind: string, table: Table) =>
    document.getSections(kind).flatMap((section) => {
      const values = readSection(section, table, problems);
      return values === undefined
        ? []
        : [{section, name: section.name, values}];
    });
  return {
    document,
    fleet: readFleet(document, problems),
    dataCentres: read('data_centre', operatorsSchema.data_centre),
    services: document
      .getSections('service')
      .flatMap((section) => readService(section, problems) ?? []),
    targets: read('target', operatorsSchema.target),
    teams: read('team', operatorsSchema.team),
    operators: read('operator', operatorsSchema.operator),
  };
}

/**
 * Gets the line number of a key, or of the section header when the key is
 * absent.
 * @param section - Section that may contain the key.
 * @param key - Key to find.
 */
export function getKeyLine(section: IniSection, key: string): number {
  const isKey = (entry: IniEntry) => entry.key === key;
  return section.entries.find(isKey)?.line ?? section.line;
}

function checkTitle(section: IniSection, problems: TextProblems): void {
  const {kind, name, title, line} = section;
  const kinds: readonly string[] = operatorsSectionKinds;
  if (!kinds.includes(kind)) {
    const nearest = getNearestName(kind, kinds);
    const message = `unknown kind of section; expected one of ${kinds.join(', ')}`;
    problems.add({line, section: title, message, nearest});
  } else if (kind === 'fleet') {
    if (name === '') return;
    problems.add({line, section: title, message: 'expected [fleet]'});
  } else if (!isWellFormedName(name)) {
    const message = `expected [${kind} <name>] with ${nameExpectation}`;
    problems.add({line, section: title, message});
  }
}

function readFleet(
  document: IniDocument,
  problems: TextProblems,
): KeyValues<Schema['fleet']> | undefined {
  const section = document.getSections('fleet')[0];
  const empty = {
    title: 'fleet',
    kind: 'fleet',
    name: '',
    line: 1,
    entries: [],
  };
  return readSection(section ?? empty, operatorsSchema.fleet, problems);
}

function readService(
  section: IniSection,
  problems: TextProblems,
): ServiceSection | undefined {
  const kind = section.entries.find((entry) => entry.key === 'kind')?.value;
  const {name} = section;
  if (kind === 'plain') {
    const table = operatorsSchema.plain_service;
    const values = readSection(section, table, problems);
    return values && {section, name, values: {...values, kind}};
  }
  const table = operatorsSchema.engine_service;
  const values = readSection(section, table, problems);
  return values && {section, name, values: {...values, kind: 'engine'}};
}
