/** Branded identifiers of everything that crosses a package border. */

declare const brand: unique symbol;

/** A primitive that only its own kind may stand in for. */
export type Brand<Value, Name extends string> = Value & {
  readonly [brand]: Name;
};

/** One daemon process, named in its settings; a restart keeps the name. */
export type DaemonId = Brand<string, 'DaemonId'>;
/** A data centre, as named in the operators' text. */
export type DataCentreId = Brand<string, 'DataCentreId'>;
/** A calling team, as named in the operators' text. */
export type TeamId = Brand<string, 'TeamId'>;
/** A service, as named in the operators' text. */
export type ServiceId = Brand<string, 'ServiceId'>;
/** One target: a runner of a model engine, or an instance of a plain service. */
export type TargetId = Brand<string, 'TargetId'>;
/** A model that engines can load. */
export type ModelId = Brand<string, 'ModelId'>;
/** A partition, written `<data centre>.<number>`. */
export type PartitionId = Brand<string, 'PartitionId'>;
/** A program, written `<partition>.<random part>`. */
export type ProgramId = Brand<string, 'ProgramId'>;
/** One call of a program; unique over the fleet. */
export type CallId = Brand<string, 'CallId'>;
/** The caller's `Idempotency-Key`. */
export type IdempotencyKey = Brand<string, 'IdempotencyKey'>;
/** Generation of a partition's holder; grows by one with each takeover. */
export type Epoch = Brand<number, 'Epoch'>;
/** Digest of what a request asks for, the same for each re-send of it. */
export type Fingerprint = Brand<string, 'Fingerprint'>;

/**
 * Marks a checked string as an identifier.
 * @param value - Text that the caller has validated.
 */
export function toId<Id extends string>(value: string): Id {
  return value as Id;
}

/**
 * Marks a number as an epoch.
 * @param value - A whole number, at least 0.
 */
export function toEpoch(value: number): Epoch {
  return value as Epoch;
}

/**
 * Gets a partition's id.
 * @param dataCentre - Home of the partition.
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
 * Gets the data centre that a partition lives in.
 * @param partition - A well-formed partition id.
 */
export function getDataCentreOfPartition(partition: PartitionId): DataCentreId {
  return toId<DataCentreId>(partition.slice(0, partition.lastIndexOf('.')));
}

/**
 * Checks the form of a partition id.
 * @param text - Untrusted text.
 */
export function isPartitionId(text: string): text is PartitionId {
  return partitionPattern.test(text);
}

/**
 * Checks the form of a program id.
 * @param text - Untrusted text.
 */
export function isProgramId(text: string): text is ProgramId {
  return programPattern.test(text);
}

/**
 * Gets the partition that a program's id carries.
 * @param program - A well-formed program id.
 */
export function getPartitionOfProgram(program: ProgramId): PartitionId {
  return toId<PartitionId>(program.slice(0, program.lastIndexOf('.')));
}
