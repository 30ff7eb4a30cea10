/** Parser of a daemon's settings. */
import {
  type DaemonId,
  type DataCentreId,
  MarigoldpostError,
  toId,
} from '@marigoldpost/common';
import {IniDocument, type IniSection} from '../ini/ini_document.js';
import {
  renderTextProblem,
  type TextProblem,
  TextProblems,
} from '../ini/text_problem.js';
import type {KeyTable, KeyValues} from '../schema/key_definition.js';
import {readSection} from '../schema/section_reader.js';
import {getNearestName} from '../utils/nearest_name.js';
import {daemonSchema} from './daemon_schema.js';
import type {DaemonSettings} from './daemon_settings.js';

type Values = {
  [Section in keyof typeof daemonSchema]: KeyValues<
    (typeof daemonSchema)[Section]
  >;
};

/** Result of parsing settings: problems or settings. */
export interface DaemonTextReading {
  /** Problems in line order; empty when the settings are valid. */
  readonly problems: readonly TextProblem[];
  /** The settings; undefined when there are problems. */
  readonly settings: DaemonSettings | undefined;
}

/**
 * Parses a daemon's settings and collects all problems; does not throw.
 * @param text - INI text.
 */
export function readDaemonText(text: string): DaemonTextReading {
  const problems = TextProblems.create();
  const document = IniDocument.parse(text, problems);
  checkSections(document, problems);
  const read = <Table extends KeyTable>(title: string, table: Table) =>
    readSection(getSection(document, title), table, problems);
  const values = {
    daemon: read('daemon', daemonSchema.daemon),
    callers: read('callers', daemonSchema.callers),
    peers: read('peers', daemonSchema.peers),
    platform: read('platform', daemonSchema.platform),
    limits: read('limits', daemonSchema.limits),
    log: read('log', daemonSchema.log),
  };
  const hasTls = document.getSections('tls').length > 0;
  const tls = hasTls ? read('tls', daemonSchema.tls) : undefined;
  const all = problems.getAll();
  if (all.length > 0) return {problems: all, settings: undefined};
  return {problems: all, settings: toSettings({...values, tls} as Values)};
}

/**
 * Parses a daemon's settings; throws `settings_invalid` with all problems.
 * @param text - INI text.
 */
export function parseDaemonSettings(text: string): DaemonSettings {
  const {problems, settings} = readDaemonText(text);
  if (settings !== undefined) return settings;
  const shown = problems.map(renderTextProblem).join('\n');
  throw MarigoldpostError.create(
    'settings_invalid',
    `the daemon's settings are not valid:\n${shown}`,
  );
}

function getSection(document: IniDocument, title: string): IniSection {
  const empty = {title, kind: title, name: '', line: 1, entries: []};
  return document.sections.find((entry) => entry.title === title) ?? empty;
}

function checkSections(document: IniDocument, problems: TextProblems): void {
  const titles = Object.keys(daemonSchema);
  for (const {title, line} of document.sections) {
    if (titles.includes(title)) continue;
    const nearest = getNearestName(title, titles);
    const message = `unknown section; expected one of ${titles.join(', ')}`;
    problems.add({line, section: title, message, nearest});
  }
}

function toSettings(
  values: Omit<Values, 'tls'> & {tls?: Values['tls']},
): DaemonSettings {
  const {daemon, callers, peers, platform, limits, tls, log} = values;
  return {
    name: toId<DaemonId>(daemon.name),
    dataCentre: toId<DataCentreId>(daemon.data_centre),
    callerHost: callers.host,
    callerPort: callers.port,
    peerHost: peers.host,
    peerPort: peers.port,
    platformAddress: platform.address,
    vmListAddress: platform.vm_list_address,
    dataFolder: daemon.data_folder,
    tls: tls && {
      certificatePath: tls.certificate,
      keyPath: tls.key,
      authorityPath: tls.authority,
    },
    logLevel: log.level,
    maxBodyBytes: callers.max_body_bytes,
    memoryMb: limits.memory_mb,
    maxDescriptors: limits.max_descriptors,
    drainMs: daemon.drain_ms,
  };
}
