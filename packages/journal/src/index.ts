/** The journal of a partition: group commit, seal, snapshot, replay. */
export * from './reader/journal_reader.js';
export * from './segments/journal_tail.js';
export * from './segments/segment.js';
export * from './writer/journal.js';
export * from './writer/journal_options.js';
