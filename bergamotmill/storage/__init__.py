"""The platform's services: key-value service and list of VMs."""
