package control

// WaitForTasks waits for the orders and questions that are under way.
func (c *Controller) WaitForTasks() {
	for _, d := range c.domains {
		// Tasks report their failures by themselves.
		_ = d.tasks.Wait()
	}
}
