/** One node of the cluster: its controller, the service for users' jobs, and the handoff of roles. */

export * from './controller.js';
export * from './job-service.js';
export * from './role-handoff.js';
