/** Renders where a request would go now. */
import type {RequestExplanation} from '../client/explain_client.js';
import {renderTable} from './text_table.js';

type ServiceExplanation = RequestExplanation['services'][number];
type ExplainedTarget = ServiceExplanation['targets'][number];

/**
 * Renders the route, and for each of its services a table of the targets and
 * the choice.
 * @param explanation - Response of an entry VM.
 */
export function renderExplanation({
  route,
  configVersion,
  tenant,
  tenantPriority,
  services,
}: RequestExplanation): string {
  const parts = [`route ${route}, configuration version ${configVersion}`];
  if (tenant !== undefined) {
    parts.push(`tenant ${tenant}, priority ${tenantPriority}`);
  }
  return [...parts, ...services.map(renderService)].join('\n');
}

function renderService(explanation: ServiceExplanation): string {
  const {service, share, usesLearnedCosts, targets} = explanation;
  const basis = usesLearnedCosts
    ? 'learned costs and the loads by other entry VMs decide'
    : 'the own requests decide';
  const table = renderTable(targets, [
    {title: 'TARGET', get: ({id}) => id},
    {title: 'DATA CENTRE', get: ({dataCentre}) => dataCentre},
    {title: 'USABLE', get: renderUsable},
    {title: 'ESTIMATE', get: ({estimate}) => renderMs(estimate.finishMs)},
    {title: 'DELAY', get: ({delayMs}) => delayMs && renderMs(delayMs)},
    {
      title: 'OWN',
      get: ({ownRequests, window}) => `${ownRequests} of ${window}`,
    },
    {title: 'OTHERS', get: ({others}) => others?.requests},
    {title: 'REPORT AGE', get: ({others}) => others && renderMs(others.ageMs)},
    {title: 'COMPARED', get: ({comparedShare}) => renderShare(comparedShare)},
    {title: 'CHOSEN', get: ({chosenShare}) => renderShare(chosenShare)},
  ]);
  return [
    '',
    `service ${service}, ${renderShare(share)} of the route's requests: ${basis}`,
    table,
    renderChoice(explanation),
  ].join('\n');
}

function renderUsable({unusable, ignoresEjection}: ExplainedTarget): string {
  if (unusable !== undefined) return `no: ${unusable.replaceAll('_', ' ')}`;
  return ignoresEjection ? 'yes: all are ejected' : 'yes';
}

function renderChoice({chosen, outcome, isDrawn}: ServiceExplanation): string {
  if (chosen === undefined) {
    return outcome === 'no_target'
      ? 'no target may receive the request: it would be refused'
      : 'no target has room: the request would be queued';
  }
  const draw = isDrawn
    ? ' most probably, as the targets to compare are drawn at random'
    : '';
  const wait =
    outcome === 'sent' ? '' : ', after a wait for the rate limit of the target';
  return `the request would go to ${chosen}${draw}${wait}`;
}

function renderMs(durationMs: number): string {
  return `${durationMs.toFixed(1)} ms`;
}

function renderShare(share: number): string {
  return `${(share * 100).toFixed(0)}%`;
}
