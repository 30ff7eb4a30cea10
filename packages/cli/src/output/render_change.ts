/** Changes that operators made. */
import type * as z from 'zod';
import type {auditSchema, historySchema} from '../client/bodies.js';
import {renderDifference} from './render_difference.js';
import {renderTable} from './text_table.js';

type Change = z.output<typeof historySchema>['changes'][number];
type AuditRecord = z.output<typeof auditSchema>['records'][number];

function renderTime(atMs: number): string {
  return new Date(atMs).toISOString();
}

/**
 * Renders one accepted change with what differs.
 * @param change - The change.
 */
export function renderChange(change: Change): string {
  const {version, author, why, at_ms: atMs, differences} = change;
  const head = `version ${version}, ${renderTime(atMs)}, ${author}: ${why}`;
  return [head, ...differences.map(renderDifference), ''].join('\n');
}

/**
 * Renders the audit trail.
 * @param records - Its records.
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
