/** The two deployments that the demo runs, at their present sizes. */
import {readFile} from 'node:fs/promises';
import {
  type DataCentreId,
  type ModelId,
  type ServiceId,
  toId,
} from '@marigoldpost/common';
import type {SiteService} from '@marigoldpost/standins';

const examplesUrl = new URL('../../../../examples/', import.meta.url);
const targetSectionPattern = /\[target [^\]]*\]\n(?:[a-z_]+ = .*\n)+\n?/g;

/** Data centres, services and calling team of one deployment. */
export interface Deployment {
  readonly title: string;
  readonly dataCentres: readonly DataCentreId[];
  readonly services: readonly SiteService[];
  readonly engineService: ServiceId;
  readonly plainService: ServiceId;
  readonly model: ModelId;
  /** Path of a booking at the plain service. */
  readonly bookingPath: string;
  /** Team that the demo's callers belong to. */
  readonly team: string;
  /** Folder under `examples/` that holds the operators' configuration. */
  readonly exampleName: string;
}

function createEngines(
  id: string,
  count: number,
  models: string[],
): SiteService {
  return {
    kind: 'engine',
    id: toId<ServiceId>(id),
    count,
    models: models.map((model) => toId<ModelId>(model)),
    model: {reportsEachToken: true},
  };
}

function createInstances(id: string, count: number): SiteService {
  const latencyMs = 30;
  return {kind: 'plain', id: toId<ServiceId>(id), count, latencyMs};
}

/** Deployments of Trần Gia and Waikato. */
export const deployments: readonly Deployment[] = [
  {
    title: 'Trần Gia',
    dataCentres: ['cat-lai', 'hiep-phuoc', 'phu-huu', 'cai-mep'].map((name) =>
      toId<DataCentreId>(name),
    ),
    services: [
      createEngines('plan-models', 8, [
        'berth-planner-70b',
        'gate-assistant-8b',
      ]),
      createInstances('quay-ops', 4),
    ],
    engineService: toId<ServiceId>('plan-models'),
    plainService: toId<ServiceId>('quay-ops'),
    model: toId<ModelId>('berth-planner-70b'),
    bookingPath: '/crane-bookings',
    team: 'planners',
    exampleName: 'tran-gia',
  },
  {
    title: 'Waikato',
    dataCentres: ['nz-north-a', 'nz-north-b', 'nz-north-c'].map((name) =>
      toId<DataCentreId>(name),
    ),
    services: [
      createEngines('agent-llm', 10, ['pitch-agent-32b']),
      createInstances('booking-app', 3),
    ],
    engineService: toId<ServiceId>('agent-llm'),
    plainService: toId<ServiceId>('booking-app'),
    model: toId<ModelId>('pitch-agent-32b'),
    bookingPath: '/pitch-bookings',
    team: 'stallholders',
    exampleName: 'waikato',
  },
];

/**
 * Reads the operators' configuration of a deployment. The example's target
 * sections are removed; each service discovers its stand-ins by name prefix.
 * @param deployment - Deployment whose example configuration is read.
 */
export async function readOperatorsConfig(
  deployment: Deployment,
): Promise<string> {
  const url = new URL(`${deployment.exampleName}/operators.ini`, examplesUrl);
  let text = (await readFile(url, 'utf8')).replaceAll(targetSectionPattern, '');
  for (const {id} of deployment.services) {
    const header = `[service ${id}]\n`;
    text = text.replace(header, `${header}discover_prefix = ${id}-\n`);
  }
  return text;
}
