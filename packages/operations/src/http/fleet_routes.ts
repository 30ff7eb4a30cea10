/** Routes of status, targets, quarantine, programs and audit trail. */
import {type Fingerprint, toId} from '@marigoldpost/common';
import {
  type Route,
  toHistoryJson,
  parseProgramIdOrThrow,
  toProgramJson,
} from '@marigoldpost/entry';
import {getHistoryLimit} from './config_routes.js';
import {toJsonBody} from './json_body.js';
import {
  type OperationsParts,
  type OperatorRequest,
  createOperatorRoute,
} from './operations_context.js';

/**
 * Creates the routes that show the fleet and act on quarantine and programs.
 * @param parts - Parts of the daemon that the routes use.
 */
export function createFleetRoutes(parts: OperationsParts): Route[] {
  const {source} = parts;
  return [
    createOperatorRoute(parts, {
      method: 'GET',
      path: '/ops/v1/status',
      handle: async () => toJsonBody(source.getStatus()),
    }),
    createOperatorRoute(parts, {
      method: 'GET',
      path: '/ops/v1/targets',
      handle: async () => ({targets: toJsonBody(source.getStatus().targets)}),
    }),
    createOperatorRoute(parts, {
      method: 'GET',
      path: '/ops/v1/quarantine',
      handle: async () => ({
        quarantined: toJsonBody(source.getStatus().quarantined),
      }),
    }),
    createOperatorRoute(parts, {
      method: 'DELETE',
      path: '/ops/v1/quarantine/{fingerprint}',
      handle: (request) => liftQuarantine(parts, request),
    }),
    createOperatorRoute(parts, {
      method: 'GET',
      path: '/ops/v1/audit',
      handle: ({exchange}) => getAudit(parts, getHistoryLimit(exchange)),
    }),
    ...createProgramRoutes(parts),
  ];
}

function createProgramRoutes(parts: OperationsParts): Route[] {
  const {source} = parts;
  const path = '/ops/v1/programs/{program}';
  return [
    createOperatorRoute(parts, {
      method: 'GET',
      path,
      handle: async (request) =>
        toProgramJson(await source.getProgram(getProgram(request))),
    }),
    createOperatorRoute(parts, {
      method: 'GET',
      path: `${path}/history`,
      handle: async (request) =>
        toHistoryJson(await source.getHistory(getProgram(request))),
    }),
    createOperatorRoute(parts, {
      method: 'DELETE',
      path,
      handle: async (request) => {
        const program = getProgram(request);
        const {name: operator} = request.operator;
        const action = 'end_program';
        await parts.actions.addAction({operator, action, subject: program});
        return toProgramJson(await source.endProgram(program));
      },
    }),
  ];
}

function getProgram({parameters}: OperatorRequest) {
  return parseProgramIdOrThrow(parameters['program'] ?? '');
}

async function liftQuarantine(
  parts: OperationsParts,
  {operator, parameters}: OperatorRequest,
): Promise<unknown> {
  const fingerprint = parameters['fingerprint'] ?? '';
  await parts.actions.addAction({
    operator: operator.name,
    action: 'lift_quarantine',
    subject: fingerprint,
  });
  await parts.source.liftQuarantine(toId<Fingerprint>(fingerprint));
  return {fingerprint, is_quarantined: false};
}

async function getAudit(
  parts: OperationsParts,
  limit: number,
): Promise<unknown> {
  const [changes, actions] = await Promise.all([
    parts.configs.getAuditTrail({limit}),
    parts.actions.getActions(),
  ]);
  const records = [
    ...changes.map(({author, ...change}) => ({
      ...change,
      operator: author,
      action: 'change_config',
      subject: `version ${change.version}`,
    })),
    ...actions,
  ];
  records.sort((left, right) => right.atMs - left.atMs);
  return {records: toJsonBody(records.slice(0, limit))};
}
