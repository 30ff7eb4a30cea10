/** Branded identifier types that the packages exchange. */

declare const brand: unique symbol;

/**
 * A primitive with a nominal type: identifiers of different names are not
 * assignable to each other.
 */
export type Brand<Value, Name extends string> = Value & {
  readonly [brand]: Name;
};

/** A daemon process, as named in its settings; stable across restarts. */
export type DaemonId = Brand<string, 'DaemonId'>;
/** A data centre, as named in the operators' configuration. */
export type DataCentreId = Brand<string, 'DataCentreId'>;
/** A calling team, as named in the operators' configuration. */
export type TeamId = Brand<string, 'TeamId'>;
/** A service, as named in the operators' configuration. */
export type ServiceId = Brand<string, 'ServiceId'>;
/** A client account with keys and a quota, as named in the configuration. */
export type TenantId = Brand<string, 'TenantId'>;
/** One target: a runner of a model engine, or an instance of a plain service. */
export type TargetId = Brand<string, 'TargetId'>;
/** A model that engines can load. */
export type ModelId = Brand<string, 'ModelId'>;
/** A partition, written `<data centre>.<number>`. */
export type PartitionId = Brand<string, 'PartitionId'>;
/** A program, written `<partition>.<random part>`. */
export type ProgramId = Brand<string, 'ProgramId'>;
/** One call of a program; unique across the fleet. */
export type CallId = Brand<string, 'CallId'>;
/** Value of the caller's `Idempotency-Key` header. */
export type IdempotencyKey = Brand<string, 'IdempotencyKey'>;
/** Generation of a partition's holder; each takeover increments it. */
export type Epoch = Brand<number, 'Epoch'>;
/** Digest of a request's content; equal for every retry of the request. */
export type Fingerprint = Brand<string, 'Fingerprint'>;

/**
 * Casts a string to an identifier type without checking it.
 * @param value - Text that the caller has validated.
 */
export function toId<Id extends string>(value: string): Id {
  return value as Id;
}

/**
 * Casts a number to an epoch without checking it.
 * @param value - An integer, at least 0.
 */
export function toEpoch(value: number): Epoch {
  return value as Epoch;
}

/**
 * Builds the id of a partition.
 * @param dataCentre - Data centre that the partition belongs to.
 * @param index - Number of the partition within its data centre.
 */
export function getPartitionId(
  dataCentre: DataCentreId,
  index: number,
): PartitionId {
  return toId<PartitionId>(`${dataCentre}.${index}`);
}

const partitionPattern = /^([a-z0-9-]+)\.(\d+)$/;
const programPattern = /^([a-z0-9-]+\.\d+)\.([A-Za-z0-9_-]{1,64})$/;

/**
 * Extracts the data centre from a partition id.
 * @param partition - A well-formed partition id.
 */
export function getDataCentreOfPartition(partition: PartitionId): DataCentreId {
  return toId<DataCentreId>(partition.slice(0, partition.lastIndexOf('.')));
}

/**
 * Checks whether a text has the format of a partition id.
 * @param text - Untrusted text.
 */
export function isPartitionId(text: string): text is PartitionId {
  return partitionPattern.test(text);
}

/**
 * Checks whether a text has the format of a program id.
 * @param text - Untrusted text.
 */
export function isProgramId(text: string): text is ProgramId {
  return programPattern.test(text);
}

/**
 * Extracts the partition from a program id.
 * @param program - A well-formed program id.
 */
export function getPartitionOfProgram(program: ProgramId): PartitionId {
  return toId<PartitionId>(program.slice(0, program.lastIndexOf('.')));
}
