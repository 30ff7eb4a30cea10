/** Steps for the directory of archives. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import type {StoredObject} from '@marigoldpost/platform';
import {ArchiveDirectory, archivePrefix} from '@marigoldpost/turns';

interface ArchiveDirectoryWorld extends World {
  directory: ArchiveDirectory;
  names: string[];
  reported: string[];
}

const depth = 100_000;

const malformedTexts: Record<string, string> = {
  'no JSON text': '{"daemon":',
  'no text at all': '',
  null: 'null',
  'a number': '7',
  'a list': JSON.stringify([createMember('b')]),
  '100000 nested arrays': '['.repeat(depth) + ']'.repeat(depth),
  'no disk': toText({disk: undefined}),
  'an address as number': toText({address: 7}),
  'an address without port': toText({address: 'http://10.0.0.1'}),
  'port 0': toText({address: 'http://10.0.0.1:0'}),
  'port 99999': toText({address: 'http://10.0.0.1:99999'}),
  'host 999.0.0.1': toText({address: 'http://999.0.0.1:7380'}),
  'an address with a path': toText({address: 'http://10.0.0.1:7380/x'}),
  'the name of another one': toText({daemon: 'a'}),
  'an empty name': toText({daemon: ''}),
};

Given(
  'a directory of the archives {string}',
  function (this: ArchiveDirectoryWorld, names: string) {
    this.reported = [];
    this.directory = ArchiveDirectory.create({
      onIgnored: ({key}) => this.reported.push(key),
    });
    this.names = names.split(', ');
    this.directory.replaceObjects(this.names.map((name) => toObject(name)));
  },
);

When(
  /^the registration of archive "(\w+)" becomes (?:sound again|one with (.+))$/,
  function (this: ArchiveDirectoryWorld, name: string, content: string | null) {
    const object = toObject(name, content);
    this.directory.applyChange({key: object.key, object, version: 2});
  },
);

When(
  /^all archives are listed while that of "(\w+)" has (.+)$/,
  function (this: ArchiveDirectoryWorld, odd: string, content: string) {
    const objects = this.names.map((name) =>
      toObject(name, name === odd ? content : null),
    );
    this.directory.replaceObjects(objects);
  },
);

Then(
  'the directory has the archives {string}',
  function (this: ArchiveDirectoryWorld, names: string) {
    const members = this.directory.getMembers();
    const listed = members.map(({daemon}) => String(daemon)).toSorted();
    assert.deepEqual(listed, names.split(', '));
  },
);

Then(
  'it has reported {string} {int} times',
  function (this: ArchiveDirectoryWorld, key: string, count: number) {
    assert.deepEqual(
      this.reported,
      Array.from({length: count}, () => key),
    );
  },
);

function toObject(name: string, content: string | null = null): StoredObject {
  const key = `${archivePrefix}${name}`;
  const sound = JSON.stringify(createMember(name));
  const value = content === null ? sound : malformedTexts[content];
  assert.ok(value !== undefined, `unknown content "${content}"`);
  return {key, value, version: 1};
}

function createMember(daemon: string): Record<string, unknown> {
  const address = 'http://10.0.0.1:7380';
  return {daemon, address, dataCentre: 'north', disk: `disk-${daemon}`};
}

function toText(fields: object): string {
  return JSON.stringify({...createMember('b'), ...fields});
}
