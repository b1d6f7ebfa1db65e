/** File sets of the operators and settings of a process. */
export {
  ConfigError,
  checkFiles,
  createFileSet,
  decodeBundle,
  encodeBundle,
} from './bundle.js';
export {diffFileSets} from './diff.js';
export type {FileSetChange} from './diff.js';
export {OwnershipScope, ServiceState} from './file_set.js';
export type {
  BackendServer,
  ClassTargets,
  Customer,
  DataCentre,
  FileName,
  FileSet,
  FileSetFiles,
  FileSetVersion,
  Model,
  PlainService,
  RequestClass,
  ServerCapacity,
  ServiceFile,
  ServiceRoute,
} from './file_set.js';
export {loadFileSet, loadSettings} from './load.js';
export {compareVersions, isNewer} from './order.js';
export type {CheckError} from './schema_check.js';
export {Policy, createSettings} from './settings.js';
export type {
  ListenAddress,
  RequestLimits,
  Settings,
  SettingsFile,
  Timing,
} from './settings.js';
