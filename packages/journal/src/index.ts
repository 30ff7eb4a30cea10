/** Journal of a partition: group commit, seal, snapshots and replay. */
export * from './reader/journal_reader.js';
export * from './segments/journal_tail.js';
export * from './segments/segment.js';
export * from './writer/journal.js';
export * from './writer/journal_options.js';
