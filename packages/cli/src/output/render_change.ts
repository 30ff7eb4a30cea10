/** Renders configuration changes and the audit trail. */
import type * as z from 'zod';
import type {
  auditSchema,
  configHistorySchema,
} from '../client/response_schemas.js';
import {renderDifference} from './render_difference.js';
import {renderTable} from './text_table.js';

type Change = z.output<typeof configHistorySchema>['changes'][number];
type AuditRecord = z.output<typeof auditSchema>['records'][number];

function renderTime(atMs: number): string {
  return new Date(atMs).toISOString();
}

/**
 * Renders one accepted configuration change with the lines that differ.
 * @param change - Change from the configuration history.
 */
export function renderChange(change: Change): string {
  const {version, author, why, at_ms: atMs, differences} = change;
  const head = `version ${version}, ${renderTime(atMs)}, ${author}: ${why}`;
  return [head, ...differences.map(renderDifference), ''].join('\n');
}

/**
 * Renders the audit trail as a table.
 * @param records - Records in the order of the rows.
 */
export function renderAudit(records: readonly AuditRecord[]): string {
  return renderTable(records, [
    {title: 'TIME', get: ({at_ms: atMs}) => renderTime(atMs)},
    {title: 'OPERATOR', get: ({operator}) => operator},
    {title: 'ACTION', get: ({action}) => action},
    {title: 'SUBJECT', get: ({subject}) => subject},
    {title: 'WHY', get: ({why}) => why},
  ]);
}
