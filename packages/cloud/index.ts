/** Client of the cloud: machine types, scale-out, scale-in and the list of machines. */
export * from './cloud-client.js';
